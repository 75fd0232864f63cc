package org.berylwick.pgm;

import java.util.ArrayList;
import java.util.List;

/** Columns as wide as their widest cell. */
final class Table {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    Table(String... headings) {
        rows.add(List.of(headings));
    }

    Table add(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        rows.add(row);
        return this;
    }

    void print(Terminal terminal) {
        terminal.print(terminal.bold(line(rows.getFirst())));
        rows.stream().skip(1).map(this::line).forEach(terminal::print);
    }

    private String line(List<String> row) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < row.size(); column++) {
            String cell = row.get(column);
            line.append(cell);
            if (column < row.size() - 1) {
                line.append(" ".repeat(width(column) - cell.length())).append(GAP);
            }
        }
        return line.toString().stripTrailing();
    }

    private int width(int column) {
        return rows.stream()
                .filter(r -> column < r.size())
                .mapToInt(r -> r.get(column).length())
                .max()
                .orElse(0);
    }
}
