#pragma once

#include <cstddef>
#include <vector>

namespace galenaroad {

/// Failures among the judged attempts of one upstream.
struct failure_count {
    std::size_t evaluated = 0;
    std::size_t failed = 0;

    /// @return the share of failures; zero without attempts.
    double ratio() const
    {
        return evaluated == 0 ? 0 : static_cast<double>(failed) / static_cast<double>(evaluated);
    }
};

/// Robust statistics from which references for comparisons are made.
class reference_statistics {
public:
    /// @param values at least one value; reordered.
    /// @return their median.
    static double median(std::vector<double>& values);

    /// @param values at least one value; overwritten.
    /// @param centre their median.
    /// @return the standard deviation that their median absolute deviation stands for.
    static double robust_spread(std::vector<double>& values, double centre);

    /// @param spread an estimated spread.
    /// @return the spread within the bounds that comparisons use.
    static double clamped_spread(double spread);

    /// Takes a level on the safe side of its estimate.
    /// @param centre the estimate.
    /// @param spread the spread of the samples.
    /// @param samples their number.
    /// @return the level to compare with.
    static double conservative_centre(double centre, double spread, std::size_t samples);

    /// Pools the ratio of failures without the quarter of the peers that fail most.
    /// @param counts the peers' counts; reordered.
    /// @return the ratio.
    static double trimmed_failure_ratio(std::vector<failure_count>& counts);
};

} // namespace galenaroad
