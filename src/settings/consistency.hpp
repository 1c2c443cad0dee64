// Whether the settings of a configuration fit together: those of one shape of deployment, not parts of two.
#pragma once

#include "settings/settings.hpp"

namespace yoketurn {

// Throws InputError, naming the key, what it says and what was expected. Keys that are absent have their
// defaults and fit anything.
void check_consistency(const SettingsMap& setup);

}  // namespace yoketurn
