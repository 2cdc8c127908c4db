/**
 * The rules that a worker keeps towards the cell, as a pure state machine.
 *
 * <p>Real workers belong to the platform; this is the reference for whoever writes one, and what the stand-ins run.
 */
package org.wasabimount.core.worker;
