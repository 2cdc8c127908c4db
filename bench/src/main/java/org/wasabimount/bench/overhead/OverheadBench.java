package org.wasabimount.bench.overhead;

import java.nio.file.Path;

import org.wasabimount.bench.BenchOptions;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** To be written. */
public final class OverheadBench {

    /**
     * Creates the experiment.
     *
     * @param top the project's folder, built
     * @param options its size
     */
    public OverheadBench(Path top, BenchOptions options) {}

    /**
     * Runs the experiment.
     *
     * @return the measured values
     */
    public ObjectNode run() {
        return new ObjectMapper().createObjectNode();
    }
}
