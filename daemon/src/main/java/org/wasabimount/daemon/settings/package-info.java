/**
 * The settings file of one daemon: reading, checking and the value that comes of it.
 */
package org.wasabimount.daemon.settings;
