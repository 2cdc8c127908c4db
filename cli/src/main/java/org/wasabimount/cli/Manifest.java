package org.wasabimount.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;

/**
 * One declared resource of a manifest file.
 *
 * @param kind the kind as it stands in the path, for example {@code services}
 * @param name the resource's name
 * @param spec the specification
 */
record Manifest(String kind, String name, JsonNode spec) {

    static List<Manifest> read(Path file) throws CliException {
        List<Manifest> manifests = new ArrayList<>();
        ObjectMapper yaml = new ObjectMapper(new YAMLFactory());
        try (MappingIterator<JsonNode> documents =
                yaml.readerFor(JsonNode.class).readValues(Files.readString(file))) {
            while (documents.hasNextValue()) {
                manifests.add(of(file, documents.nextValue()));
            }
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new CliException(CliException.BAD_INPUT, file + " line " + line + ": invalid YAML");
        } catch (IOException e) {
            throw new CliException(CliException.BAD_INPUT, file + " can't be read: " + e.getMessage());
        }
        if (manifests.isEmpty()) {
            throw new CliException(CliException.BAD_INPUT, file + " declares no resources");
        }
        return manifests;
    }

    private static Manifest of(Path file, JsonNode document) throws CliException {
        for (String field : List.of("kind", "name", "spec")) {
            if (!document.has(field)) {
                throw new CliException(
                        CliException.BAD_INPUT, file + ": a document is missing the field \"" + field + "\"");
            }
        }
        return new Manifest(document.get("kind").asText(), document.get("name").asText(), document.get("spec"));
    }
}
