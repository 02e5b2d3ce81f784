/** @file crowd_base.h Measures what many hosts cost their leader. */
#pragma once

#include <nlohmann/json.hpp>

namespace bilberry {

/**
 * @param hosts Entry hosts that share 90 engines with 480 models.
 * @return Reports a second of all hosts, their size, and the leader's processor time for decisions.
 */
nlohmann::json measureCrowd(int hosts, unsigned seed);

} // namespace bilberry
