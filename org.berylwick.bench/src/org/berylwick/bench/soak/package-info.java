/** The long randomised run: a fleet under load and a seeded schedule of faults, judged by what backend servers ran. */
package org.berylwick.bench.soak;
