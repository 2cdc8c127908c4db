/**
 * Experiments and load against real daemons, with small stand-ins of what is outside the product.
 */
package org.wasabimount.bench;
