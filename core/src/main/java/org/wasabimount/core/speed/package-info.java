/**
 * The speeds of workers, learnt from the progress of their runs.
 */
package org.wasabimount.core.speed;
