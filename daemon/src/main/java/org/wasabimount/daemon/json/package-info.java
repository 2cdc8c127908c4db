/**
 * Reads JSON request bodies; errors name the field.
 */
package org.wasabimount.daemon.json;
