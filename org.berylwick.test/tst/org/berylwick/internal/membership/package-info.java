/** Tests of the merging of member records and of the detection of failed members. */
package org.berylwick.internal.membership;
