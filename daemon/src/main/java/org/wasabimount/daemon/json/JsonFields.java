package org.wasabimount.daemon.json;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;

import org.wasabimount.core.ResultCode;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads the fields of a JSON object and refuses what is missing, of another type or not known. */
public final class JsonFields {

    /** Reads and writes JSON; names must not stand twice, and nothing may follow the value. */
    public static final ObjectMapper MAPPER = new ObjectMapper()
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final String path;
    private final JsonNode node;
    private final Set<String> read = new HashSet<>();

    private JsonFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
    }

    /**
     * Reads a JSON object.
     *
     * @param body the bytes
     * @return the object's fields
     */
    public static JsonFields parse(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return of("body", node);
        } catch (JsonProcessingException e) {
            String where =
                    e.getLocation() == null ? "" : " at line " + e.getLocation().getLineNr();
            throw new BadRequestException(ResultCode.MALFORMED, "the body is not JSON" + where);
        } catch (IOException e) {
            throw new BadRequestException(ResultCode.MALFORMED, "the body is not JSON");
        }
    }

    private static JsonFields of(String path, JsonNode node) {
        if (!(node instanceof ObjectNode)) {
            throw new BadRequestException(ResultCode.MALFORMED, path + " must be a JSON object");
        }
        return new JsonFields(path, node);
    }

    /** Refuses fields that were not asked for. */
    public void rejectUnknownFields() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!read.contains(name)) {
                throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " is not a known field");
            }
        }
    }

    /**
     * Tells whether a field is there.
     *
     * @param name the field
     * @return true if it is
     */
    public boolean has(String name) {
        read.add(name);
        return node.has(name);
    }

    /**
     * Returns a text.
     *
     * @param name the field
     * @return its value
     */
    public String text(String name) {
        return required(name, JsonNode::isTextual, "a text").textValue();
    }

    /**
     * Returns a text.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /**
     * Returns a whole number.
     *
     * @param name the field
     * @return its value
     */
    public long number(String name) {
        return required(name, JsonNode::canConvertToLong, "a whole number").longValue();
    }

    /**
     * Returns a whole number.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public long number(String name, long defaultValue) {
        return has(name) ? number(name) : defaultValue;
    }

    /**
     * Returns a whole number that fits in 32 bits.
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
     * Returns a number that need not be whole.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public double decimal(String name, double defaultValue) {
        return has(name) ? required(name, JsonNode::isNumber, "a number").doubleValue() : defaultValue;
    }

    /**
     * Returns a list of whole numbers.
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
     * Returns true or false.
     *
     * @param name the field
     * @param defaultValue the value if the field is missing
     * @return its value
     */
    public boolean flag(String name, boolean defaultValue) {
        return has(name) ? required(name, JsonNode::isBoolean, "true or false").booleanValue() : defaultValue;
    }

    /**
     * Returns a constant of an enum.
     *
     * @param name the field
     * @param type the enum
     * @param <E> the enum
     * @return its value
     */
    public <E extends Enum<E>> E enumConstant(String name, Class<E> type) {
        String text = text(name);
        try {
            return Enum.valueOf(type, text);
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(ResultCode.INVALID_VALUE, path + "." + name + " can't be \"" + text + "\"");
        }
    }

    /**
     * Returns an object.
     *
     * @param name the field
     * @return its fields
     */
    public JsonFields object(String name) {
        return of(path + "." + name, required(name, JsonNode::isObject, "an object"));
    }

    /**
     * Returns a list of objects.
     *
     * @param name the field
     * @return their fields, empty if the field is missing
     */
    public List<JsonFields> objects(String name) {
        List<JsonFields> objects = new ArrayList<>();
        if (has(name)) {
            required(name, JsonNode::isArray, "a list")
                    .forEach(item -> objects.add(of(path + "." + name + "[" + objects.size() + "]", item)));
        }
        return objects;
    }

    /**
     * Returns a list of texts.
     *
     * @param name the field
     * @return the texts
     */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (JsonNode item : required(name, JsonNode::isArray, "a list")) {
            if (!item.isTextual()) {
                throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " must be a list of texts");
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

    private JsonNode required(String name, java.util.function.Predicate<JsonNode> type, String wanted) {
        read.add(name);
        JsonNode value = node.get(name);
        if (value == null) {
            throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " is missing");
        }
        if (!type.test(value)) {
            throw new BadRequestException(ResultCode.MALFORMED, path + "." + name + " must be " + wanted);
        }
        return value;
    }
}
