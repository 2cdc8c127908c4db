/**
 * The command-line tool {@code wasabimount}. It uses only the public HTTP interface.
 */
package org.wasabimount.cli;
