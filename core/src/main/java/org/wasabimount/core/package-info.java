/**
 * Types shared by the packages that contain the decision logic: ids, the clock, result codes and argument checks.
 *
 * <p>The sub-packages start no threads, open no sockets or files, and read no clock: a state machine receives an event
 * with its time in milliseconds and returns the actions to be performed.
 */
package org.wasabimount.core;
