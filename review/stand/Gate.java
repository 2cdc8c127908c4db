import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A proxy before a minion. When the minion loses power, the connections to it fall silent, without a reset; new ones reach
 * its next life.
 */
final class Gate {

    private final String ip;
    private final ServerSocket server;
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private volatile int targetPort;
    private volatile int life;

    Gate(String ip, int port, int targetPort) throws IOException {
        this.ip = ip;
        this.targetPort = targetPort;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
        start(this::accept);
    }

    /** Silences all open connections; new ones are not answered until {@link #powerOn}. */
    void powerOff() {
        life++;
        targetPort = 0;
    }

    void powerOn(int newTargetPort) {
        targetPort = newTargetPort;
    }

    private void accept() {
        try {
            while (true) {
                Socket client = server.accept();
                client.setTcpNoDelay(true);
                int port = targetPort;
                if (port == 0) {
                    silent.add(client);
                    continue;
                }
                Socket minion = new Socket(ip, port);
                minion.setTcpNoDelay(true);
                int ofLife = life;
                start(() -> copy(client, minion, ofLife));
                start(() -> copy(minion, client, ofLife));
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void copy(Socket from, Socket to, int ofLife) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[8192];
            int count = in.read(buffer);
            while (count >= 0 && life == ofLife) {
                out.write(buffer, 0, count);
                out.flush();
                count = in.read(buffer);
            }
        } catch (IOException e) {
            // Closed by one of the sides.
        }
        if (life == ofLife) {
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

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "gate");
        thread.setDaemon(true);
        thread.start();
    }
}
