/**
 * The demonstration of the whole path.
 */
package org.wasabimount.bench.demo;
