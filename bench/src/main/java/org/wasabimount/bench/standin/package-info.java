/**
 * Stand-ins for workers, backend servers and the network, each spoken to through its real protocol.
 */
package org.wasabimount.bench.standin;
