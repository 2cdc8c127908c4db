/**
 * Tasks that slow each other on one worker: noticing which kinds do, and pacing tasks that fill beside tasks that serve.
 *
 * <p>All classes are without input, output and clock. {@link org.wasabimount.core.interference.InterferenceLearner}
 * learns from the progress that workers list, {@link org.wasabimount.core.interference.FillerPacing} decides how fast
 * the fillers of one worker may work. What is learnt is a leader's memory: bounded, decaying, and lost with the leader.
 */
package org.wasabimount.core.interference;
