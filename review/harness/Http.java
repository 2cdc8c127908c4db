import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A minimal HTTP client that opens a connection for each call. */
final class Http {

    private Http() {}

    /** A response; the status is 0 if there was none. */
    record Response(int status, byte[] body) {

        static final Response NONE = new Response(0, new byte[0]);

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Calls an address of the form IP:PORT; waits as long as the time-out for the whole response. */
    static Response call(String method, String address, String host, String path, byte[] body, int timeoutMillis) {
        int colon = address.lastIndexOf(':');
        InetSocketAddress target =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        try (Socket socket = new Socket()) {
            socket.connect(target, timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                    + "\r\nContent-Type: application/json\r\nX-Wasabimount-Deadline-Ms: 3000\r\nContent-Length: "
                    + body.length + "\r\nConnection: close\r\n\r\n";
            OutputStream out = socket.getOutputStream();
            out.write((head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8));
            out.flush();
            return parse(socket.getInputStream());
        } catch (IOException e) {
            return Response.NONE;
        }
    }

    private static Response parse(InputStream in) throws IOException {
        byte[] all = in.readAllBytes();
        String text = new String(all, StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
            return Response.NONE;
        }
        int status = Integer.parseInt(text.substring(9, 12));
        return new Response(status, text.substring(end + 4).getBytes(StandardCharsets.ISO_8859_1));
    }
}
