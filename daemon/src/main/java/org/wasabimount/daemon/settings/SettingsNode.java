package org.wasabimount.daemon.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import org.wasabimount.core.Names;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/** A mapping node of a settings file, with its path and line numbers for error messages. */
final class SettingsNode {

    private static final int MAX_PORT = 65_535;

    private final String path;
    private final Node node;
    private final Map<String, Node> values = new LinkedHashMap<>();

    private SettingsNode(String path, Node node) throws SettingsException {
        this.path = path;
        this.node = node;
        if (!(node instanceof MappingNode mapping)) {
            throw exceptionAt(path, node, "must be a mapping of keys to values");
        }
        for (NodeTuple tuple : mapping.getValue()) {
            String key = ((ScalarNode) tuple.getKeyNode()).getValue();
            if (values.put(key, tuple.getValueNode()) != null) {
                throw exceptionAt(childPath(key), tuple.getKeyNode(), "is a duplicate key");
            }
        }
    }

    static SettingsNode root(Node node) throws SettingsException {
        return new SettingsNode("", node);
    }

    /** Rejects unknown keys; for a key without its unit, the error suggests the known key that starts with it. */
    void rejectUnknownKeys(Set<String> knownKeys) throws SettingsException {
        for (Map.Entry<String, Node> value : values.entrySet()) {
            if (!knownKeys.contains(value.getKey())) {
                Optional<String> suggestion = knownKeys.stream()
                        .filter(key -> key.startsWith(value.getKey()))
                        .findFirst();
                String hint = suggestion
                        .map(key -> "; the key with its unit is \"" + key + "\"")
                        .orElse("; known keys are " + new TreeSet<>(knownKeys));
                throw exceptionAt(childPath(value.getKey()), value.getValue(), "is not a known key" + hint);
            }
        }
    }

    boolean has(String key) {
        return values.containsKey(key);
    }

    String text(String key) throws SettingsException {
        Node value = required(key);
        if (value instanceof ScalarNode scalar && !scalar.getValue().isEmpty()) {
            return scalar.getValue();
        }
        throw exceptionAt(childPath(key), value, "must be a non-empty string");
    }

    String text(String key, String defaultValue) throws SettingsException {
        return has(key) ? text(key) : defaultValue;
    }

    String name(String key) throws SettingsException {
        return checkName(childPath(key), required(key), text(key));
    }

    List<String> names(String key) throws SettingsException {
        Node value = required(key);
        if (!(value instanceof SequenceNode sequence)) {
            throw exceptionAt(childPath(key), value, "must be a list of names");
        }
        List<String> names = new ArrayList<>();
        for (Node item : sequence.getValue()) {
            String itemPath = childPath(key) + "[" + names.size() + "]";
            if (!(item instanceof ScalarNode scalar)) {
                throw exceptionAt(itemPath, item, "must be a name");
            }
            names.add(checkName(itemPath, item, scalar.getValue()));
        }
        return names;
    }

    long number(String key, long defaultValue, long min, long max) throws SettingsException {
        if (!has(key)) {
            return defaultValue;
        }
        try {
            long number = Long.parseLong(text(key));
            if (number >= min && number <= max) {
                return number;
            }
            throw exceptionAt(childPath(key), required(key), "must be from " + min + " to " + max + ", not " + number);
        } catch (NumberFormatException e) {
            throw exceptionAt(childPath(key), required(key), "must be a whole number, not \"" + text(key) + "\"");
        }
    }

    <E extends Enum<E>> E enumConstant(String key, E defaultValue) throws SettingsException {
        if (!has(key)) {
            return defaultValue;
        }
        Class<E> type = defaultValue.getDeclaringClass();
        try {
            return Enum.valueOf(type, text(key));
        } catch (IllegalArgumentException e) {
            throw exceptionAt(
                    childPath(key), required(key), "must be one of " + Arrays.toString(type.getEnumConstants()));
        }
    }

    InetSocketAddress address(String key) throws SettingsException {
        String text = text(key);
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon);
        if (!host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:]+]")) {
            throw exceptionAt(childPath(key), required(key), "must be an IP number and a port, as in 10.0.0.1:7100");
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port > 0 && port <= MAX_PORT) {
                return new InetSocketAddress(host, port);
            }
        } catch (NumberFormatException e) {
            // Falls through to the error for a port out of range.
        }
        throw exceptionAt(childPath(key), required(key), "must have a port from 1 to " + MAX_PORT);
    }

    List<SettingsNode> mappings(String key) throws SettingsException {
        Node value = required(key);
        if (!(value instanceof SequenceNode sequence)) {
            throw exceptionAt(childPath(key), value, "must be a list");
        }
        List<SettingsNode> nodes = new ArrayList<>();
        for (Node item : sequence.getValue()) {
            nodes.add(new SettingsNode(childPath(key) + "[" + nodes.size() + "]", item));
        }
        return nodes;
    }

    SettingsNode mapping(String key) throws SettingsException {
        return new SettingsNode(childPath(key), required(key));
    }

    Set<String> keys() {
        return values.keySet();
    }

    SettingsException exceptionAt(String key, String detail) {
        return exceptionAt(childPath(key), values.getOrDefault(key, node), detail);
    }

    private Node required(String key) throws SettingsException {
        Node value = values.get(key);
        if (value == null) {
            throw exceptionAt(childPath(key), node, "is missing");
        }
        return value;
    }

    private String childPath(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    private static String checkName(String path, Node node, String name) throws SettingsException {
        if (!Names.valid(name)) {
            throw exceptionAt(
                    path, node, "\"" + name + "\" may contain only lower-case letters, digits, dots and hyphens");
        }
        return name;
    }

    private static SettingsException exceptionAt(String path, Node node, String detail) {
        return new SettingsException(path, node.getStartMark().getLine() + 1, detail);
    }
}
