#pragma once

#include <cstddef>
#include <vector>

namespace galenaroad {

/// Failures among the evaluated attempts of one upstream.
struct failure_count {
    std::size_t evaluated = 0; ///< Successes and failures.
    std::size_t failed = 0;

    /// @return the share of failures; zero without attempts.
    double ratio() const
    {
        return evaluated == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(evaluated);
    }
};

/// Robust statistics for the references that upstreams are compared with.
class reference_statistics {
public:
    /// Computes the median.
    /// @param values at least one value; reordered.
    /// @return the median; of an even number of values, the upper one of the two in the middle.
    static double median(std::vector<double>& values);

    /// Estimates the standard deviation from the median absolute deviation.
    /// @param values at least one value; overwritten.
    /// @param centre their median.
    /// @return the standard deviation of a normal distribution with that deviation.
    static double robust_spread(std::vector<double>& values, double centre);

    /// Limits a spread to the bounds that comparisons use.
    /// @param spread an estimated standard deviation.
    /// @return the limited spread.
    static double clamped_spread(double spread);

    /// Adds a margin for the standard error to a median, so that a candidate is not found slow
    /// because the median was estimated too low.
    /// @param centre the median of the samples.
    /// @param spread the spread of the samples.
    /// @param samples their number.
    /// @return the value to compare with.
    static double conservative_centre(double centre, double spread, std::size_t samples);

    /// Computes the failure ratio of all peers except the quarter with the highest ratios.
    /// @param counts the peers' counts; reordered.
    /// @return the ratio.
    static double trimmed_failure_ratio(std::vector<failure_count>& counts);
};

} // namespace galenaroad
