/** The members known to this process: merging of their records and detection of failed members. */
package org.berylwick.internal.membership;
