/**
 * The command-line tool {@code wasabimount}. It speaks only the public HTTP interface.
 */
package org.wasabimount.cli;
