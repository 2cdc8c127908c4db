/**
 * Measures request routing through real daemons under overload and faults.
 */
package org.wasabimount.bench.routing;
