/**
 * Demonstration of a complete cell with real processes.
 */
package org.wasabimount.bench.demo;
