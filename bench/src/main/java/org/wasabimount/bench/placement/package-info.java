/**
 * Measures placement by driving the pure code in virtual time.
 */
package org.wasabimount.bench.placement;
