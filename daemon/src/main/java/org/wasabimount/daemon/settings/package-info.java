/**
 * Reads and validates the settings files of daemons and nodes.
 */
package org.wasabimount.daemon.settings;
