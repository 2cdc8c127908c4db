package org.wasabimount.daemon.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import org.wasabimount.core.ResultCode;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads the fields of a JSON object and rejects fields that are missing, of the wrong type or unknown. */
public final class JsonFields {

    /** Fields, values and brackets of a text; a configuration of 4 MiB has fewer, as a route's take 8 bytes each. */
    private static final long MAX_TOKENS = 600_000;

    /** Objects in one list; a configuration of 4 MiB has fewer routes, as each takes more than 100 bytes. */
    private static final int MAX_OBJECTS = 50_000;

    /** Reads and writes JSON; duplicate field names, content after the value and too many values are rejected. */
    public static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxTokenCount(MAX_TOKENS)
                            .build())
                    .build())
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final String path;
    private final JsonNode node;
    private final Set<String> readFields = new HashSet<>();

    private JsonFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    /**
     * Reads a JSON object.
     *
     * @param body the bytes of the JSON text
     * @return the object's fields
     * @throws BadRequestException if the body is not a JSON object
     */
    public static JsonFields parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return of("body", node);
        } catch (JsonProcessingException e) {
            String location =
                    e.getLocation() == null ? "" : " at line " + e.getLocation().getLineNr();
            throw new BadRequestException(ResultCode.MALFORMED, "the body is not valid JSON" + location);
        } catch (IOException e) {
            throw new BadRequestException(ResultCode.MALFORMED, "the body is not valid JSON");
        }
    }

    private static JsonFields of(String path, JsonNode node) {
        if (!(node instanceof ObjectNode)) {
            throw new BadRequestException(ResultCode.MALFORMED, path + " must be a JSON object");
        }
        return new JsonFields(path, node);
    }

    /**
     * Rejects fields that have not been read; call it after all known fields have been read.
     *
     * @throws BadRequestException if the object has another field
     */
    public void rejectUnknownFields() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!readFields.contains(name)) {
                throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " is not a known field");
            }
        }
    }

    /**
     * Returns whether a field is present, and marks it as known.
     *
     * @param name the field
     * @return true if it is present
     */
    public boolean has(String name) {
        readFields.add(name);
        return node.has(name);
    }

    /**
     * Returns a string field.
     *
     * @param name the field
     * @return its value
     */
    public String text(String name) {
        return required(name, JsonNode::isTextual, "a string").textValue();
    }

    /**
     * Returns a string field.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /**
     * Returns an integer field.
     *
     * @param name the field
     * @return its value
     */
    public long number(String name) {
        return required(name, JsonNode::canConvertToLong, "a whole number").longValue();
    }

    /**
     * Returns an integer field.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public long number(String name, long defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /**
     * Returns an integer field that fits in 32 bits.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public int integer(String name, int defaultValue) {
        long number = number(name, defaultValue);
        if (number < Integer.MIN_VALUE || number > Integer.MAX_VALUE) {
            throw new BadRequestException(ResultCode.INVALID_VALUE, path + "." + name + " is out of range");
        }
        return (int) number;
    }

    /**
     * Returns a numeric field that may have a fractional part.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public double decimal(String name, double defaultValue) {
        return has(name) ? required(name, JsonNode::isNumber, "a number").doubleValue() : defaultValue;
    }

    /**
     * Returns a field that is a list of integers.
     *
     * @param name the field
     * @return the numbers
     */
    public List<Integer> integers(String name) {
        List<Integer> numbers = new ArrayList<>();
        for (JsonNode item : required(name, JsonNode::isArray, "a list")) {
            if (!item.canConvertToInt()) {
                throw new BadRequestException(
                        ResultCode.MALFORMED, path + "." + name + " must be a list of whole numbers");
            }
            numbers.add(item.intValue());
        }
        return numbers;
    }

    /**
     * Returns a boolean field.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public boolean flag(String name, boolean defaultValue) {
        return has(name) ? required(name, JsonNode::isBoolean, "true or false").booleanValue() : defaultValue;
    }

    /**
     * Returns a string field that names an enum constant.
     *
     * @param name the field
     * @param type the enum class
     * @param <E> the enum type
     * @return the constant
     */
    public <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        String text = text(name);
        try {
            return Enum.valueOf(type, text);
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(
                    ResultCode.INVALID_VALUE, path + "." + name + " has the unknown value \"" + text + "\"");
        }
    }

    /**
     * Returns a field that is an object.
     *
     * @param name the field
     * @return its fields
     */
    public JsonFields object(String name) {
        return of(path + "." + name, required(name, JsonNode::isObject, "an object"));
    }

    /**
     * Returns a field that is a list of objects.
     *
     * @param name the field
     * @return their fields, empty if the field is missing
     */
    public List<JsonFields> objects(String name) {
        List<JsonFields> objects = new ArrayList<>();
        if (has(name)) {
            JsonNode list = required(name, JsonNode::isArray, "a list");
            if (list.size() > MAX_OBJECTS) {
                throw new BadRequestException(
                        ResultCode.TOO_LARGE, path + "." + name + " has more than " + MAX_OBJECTS + " objects");
            }
            list.forEach(item -> objects.add(of(path + "." + name + "[" + objects.size() + "]", item)));
        }
        return objects;
    }

    /**
     * Returns a field that is a list of strings.
     *
     * @param name the field
     * @return the strings
     */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (JsonNode item : required(name, JsonNode::isArray, "a list")) {
            if (!item.isTextual()) {
                throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " must be a list of strings");
            }
            texts.add(item.textValue());
        }
        return texts;
    }

    /**
     * Returns the names of all fields.
     *
     * @return the names
     */
    public Set<String> names() {
        Set<String> names = new HashSet<>();
        node.fieldNames().forEachRemaining(names::add);
        return names;
    }

    private JsonNode required(String name, java.util.function.Predicate<JsonNode> type, String expectedType) {
        readFields.add(name);
        JsonNode value = node.get(name);
        if (value == null) {
            throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " is missing");
        }
        if (!type.test(value)) {
            throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " must be " + expectedType);
        }
        return value;
    }
}
