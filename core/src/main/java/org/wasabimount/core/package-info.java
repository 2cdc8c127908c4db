/**
 * Types shared by every decision package: ids, the clock, result codes and argument checks.
 *
 * <p>Nothing below this package starts a thread, opens a socket or a file, or reads a clock: a state receives an event
 * with its time in milliseconds and returns what is to be done.
 */
package org.wasabimount.core;
