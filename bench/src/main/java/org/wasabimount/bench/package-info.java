/**
 * Experiments and load tests against real daemon processes, with stand-ins for the workers, backend servers and network
 * around them.
 */
package org.wasabimount.bench;
