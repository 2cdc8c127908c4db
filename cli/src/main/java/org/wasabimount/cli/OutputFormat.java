package org.wasabimount.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/** The formats in which responses are printed. */
enum OutputFormat {
    /** One indented JSON document. */
    JSON {
        @Override
        String write(JsonNode node) throws JsonProcessingException {
            return new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(node);
        }
    },
    /** One YAML document. */
    YAML {
        @Override
        String write(JsonNode node) throws JsonProcessingException {
            return new ObjectMapper(new YAMLFactory()).writeValueAsString(node).stripTrailing();
        }
    },
    /** A table with one line per resource, for reading by people. */
    TABLE {
        @Override
        String write(JsonNode node) throws JsonProcessingException {
            List<String[]> rows = new ArrayList<>();
            if (node.has("resources")) {
                node.get("resources").forEach(resource -> rows.add(row(resource)));
            } else if (node.has("kind") && node.has("phase")) {
                rows.add(row(node));
            } else {
                return YAML.write(node);
            }
            rows.add(0, HEADINGS);
            return formatTable(rows);
        }
    };

    private static final String[] HEADINGS = {"KIND", "NAME", "VERSION", "PHASE", "PENDING", "RUNNING", "DONE", "WHY"};

    abstract String write(JsonNode node) throws JsonProcessingException;

    static OutputFormat parse(String text) throws CliException {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new CliException(CliException.USAGE, "-o must be json, yaml or table, not \"" + text + "\"");
        }
    }

    private static String[] row(JsonNode resource) {
        JsonNode tasks = resource.path("tasks");
        return new String[] {
            resource.path("kind").asText(),
            resource.path("name").asText(),
            resource.path("version").asText(),
            resource.path("phase").asText(),
            tasks.path("pending").asText(),
            Integer.toString(tasks.path("running").asInt() + tasks.path("bound").asInt()),
            tasks.path("succeeded").asText(),
            resource.path("reason").asText()
        };
    }

    private static String formatTable(List<String[]> rows) {
        StringBuilder text = new StringBuilder();
        for (String[] row : rows) {
            for (int column = 0; column < row.length; column++) {
                int index = column;
                int width = rows.stream()
                        .mapToInt(cells -> cells[index].length())
                        .max()
                        .orElse(0);
                text.append(String.format("%-" + (width + 2) + "s", row[column]));
            }
            text.append(System.lineSeparator());
        }
        return text.toString().stripTrailing();
    }
}
