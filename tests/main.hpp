// main() of a test program. Include it in one source file, instead of doctest's own main().
#pragma once

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  // Excludes the test cases that are known to fail; .ci/run reads them from KNOWN-RED.txt and prints them.
  if (const char* known = std::getenv("YOKETURN_KNOWN_RED"); known != nullptr && *known != '\0')
    context.addFilter("test-case-exclude", known);
  return context.run();
}
