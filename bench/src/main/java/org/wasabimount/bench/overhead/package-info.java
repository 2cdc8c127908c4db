/**
 * Measures what a daemon costs against the size of its work.
 */
package org.wasabimount.bench.overhead;
