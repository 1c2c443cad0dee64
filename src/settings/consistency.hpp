// Checks that the settings of a configuration are consistent with each other, so that a mix of two
// deployments' settings is refused.
#pragma once

#include "settings/settings.hpp"

namespace yoketurn {

// Throws InputError with the key, its value and what was expected. A missing key has its default, which is
// consistent with everything.
void check_consistency(const SettingsMap& setup);

}  // namespace yoketurn
