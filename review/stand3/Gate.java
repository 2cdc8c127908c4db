import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A proxy before a minion. When the minion loses power, its connections fall silent, without a reset, and new ones reach its
 * next life; while it is cut off, new ones are silent, too.
 */
final class Gate {

    private final String host;
    private final ServerSocket server;
    private volatile int targetPort;
    private volatile int generation;
    private volatile boolean cut;

    Gate(String host, int port) throws IOException {
        this.host = host;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        Minion.daemon(this::accept).start();
    }

    void connectTo(int port) {
        targetPort = port;
    }

    /** Has all open connections fall silent, and new ones until {@link #connectTo}. */
    void powerOff() {
        targetPort = 0;
        generation++;
    }

    /** Has all open connections fall silent for good, and new ones as long as the cut lasts. */
    void cut(boolean newCut) {
        cut = newCut;
        if (newCut) {
            generation++;
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = server.accept();
                caller.setTcpNoDelay(true);
                int port = targetPort;
                if (port == 0 || cut) {
                    continue;
                }
                Socket minion = new Socket(host, port);
                minion.setTcpNoDelay(true);
                int current = generation;
                Minion.daemon(() -> copy(caller, minion, current)).start();
                Minion.daemon(() -> copy(minion, caller, current)).start();
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void copy(Socket from, Socket to, int current) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[8192];
            int count = in.read(buffer);
            while (count >= 0 && generation == current) {
                out.write(buffer, 0, count);
                out.flush();
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // One of the sides has closed the connection.
        }
        if (generation == current) {
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
