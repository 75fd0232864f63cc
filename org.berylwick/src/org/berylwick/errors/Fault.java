package org.berylwick.errors;

/**
 * One thing wrong with what an operator wrote.
 *
 * @param document the file, or what stands for it
 * @param line 1-based; 0 if the fault belongs to no single line
 * @param field such as {@code brand[makati-ads].hosts}
 * @param rule the rule that was broken and what to do
 */
public record Fault(String document, int line, String field, String rule) {
    @Override
    public String toString() {
        String place = line > 0 ? document + ":" + line : document;
        return place + ": " + field + ": " + rule;
    }
}
