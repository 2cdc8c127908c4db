package org.wasabimount.bench.scenario;

import io.cucumber.testng.AbstractTestNGCucumberTests;
import io.cucumber.testng.CucumberOptions;

/** Runs the scenarios against real daemon processes. */
@CucumberOptions(
        features = "classpath:org/wasabimount/bench/scenario",
        glue = "org.wasabimount.bench.scenario",
        plugin = {"summary"})
public class ScenarioTest extends AbstractTestNGCucumberTests {}
