/** How records of members are merged, suspected and given up. */
package org.berylwick.internal.membership;
