package org.wasabimount.bench.overhead;

import java.util.ArrayList;
import java.util.List;

/** Least-squares fit of a straight line through measured points. */
final class LinearFit {

    private final List<double[]> points = new ArrayList<>();

    LinearFit add(double size, double cost) {
        points.add(new double[] {size, cost});
        return this;
    }

    /** Returns the slope of the line: the cost of one more unit. */
    double perUnit() {
        double meanSize =
                points.stream().mapToDouble(point -> point[0]).average().orElse(0);
        double meanCost =
                points.stream().mapToDouble(point -> point[1]).average().orElse(0);
        double covariance = points.stream()
                .mapToDouble(point -> (point[0] - meanSize) * (point[1] - meanCost))
                .sum();
        double variance = points.stream()
                .mapToDouble(point -> (point[0] - meanSize) * (point[0] - meanSize))
                .sum();
        return variance == 0 ? 0 : covariance / variance;
    }
}
