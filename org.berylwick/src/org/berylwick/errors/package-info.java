/** Errors of each layer as sealed types; a layer turns the errors from below into its own. */
package org.berylwick.errors;
