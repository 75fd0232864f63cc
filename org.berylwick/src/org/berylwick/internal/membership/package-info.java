/** Who the members are, as far as this process knows. */
package org.berylwick.internal.membership;
