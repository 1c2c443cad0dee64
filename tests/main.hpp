// The entry of a test program. Include in one file of it, in place of doctest's own.
#pragma once

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  // Test cases that are known to fail; .ci/run takes them from KNOWN-RED.txt and prints them.
  if (const char* known = std::getenv("YOKETURN_KNOWN_RED"); known != nullptr && *known != '\0')
    context.addFilter("test-case-exclude", known);
  return context.run();
}
