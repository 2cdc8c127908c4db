/**
 * Stand-ins for workers, backend servers and network links that use the real protocols.
 */
package org.wasabimount.bench.standin;
