/**
 * Decides whose jobs are accepted when the organisations that share the workers want more than there is.
 *
 * <p>The load: twenty unequal organisations use 0.83 of the cores at the mean; one of them sends at five times its usual
 * rate for seconds, then all send at 1.5 times theirs, and urgent jobs come at twice their rate. Clients that are refused
 * return four times at most, and wait as long as they are told.
 *
 * <p>Nothing here does I/O or reads a clock. The state is the leader's, bounded, and lost with it without harm.
 */
package org.wasabimount.core.share;
