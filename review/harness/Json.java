import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Reads and writes the bodies of calls. */
final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static byte[] bytes(JsonNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Parses a body; an empty object if it is not JSON. */
    static JsonNode read(byte[] body) {
        try {
            JsonNode node = MAPPER.readTree(body);
            return node == null ? object() : node;
        } catch (IOException e) {
            return object();
        }
    }
}
