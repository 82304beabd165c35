import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Stand-ins for the platform of the live dispatcher: change log, runners, web servers, and the process itself. */
final class Kit {
  static final int BROKEN = 1;
  static final int HELD = 0;
  static final int CANNOT_RUN = 2;

  /** True unless the environment says TROUBLE=0. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long START = System.nanoTime();
  private static final StringBuilder RECORD = new StringBuilder();
  private static final List<Process> PROCESSES = new CopyOnWriteArrayList<>();

  private Kit() {}

  /** Milliseconds since the start of the case. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  /** Adds a line to the record. */
  static void note(String form, Object... values) {
    String line = String.format("%7d ms  ", now()) + String.format(form, values);
    synchronized (RECORD) {
      RECORD.append(line).append('\n');
    }
  }

  /** Prints a line and adds it to the record. */
  static void say(String form, Object... values) {
    note(form, values);
    System.out.println(String.format(form, values));
  }

  interface Body {
    int run() throws Exception;
  }

  /** Runs a case: the record is written and all processes are ended, whatever happens. */
  static void run(Path record, Body body) {
    int code = CANNOT_RUN;
    Thread limit = new Thread(() -> {
      sleep(115_000);
      say("the case did not end in its time");
      end(record, CANNOT_RUN);
    });
    limit.setDaemon(true);
    limit.start();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> PROCESSES.forEach(Process::destroyForcibly)));
    try {
      code = body.run();
    } catch (Throwable e) {
      say("the case could not run: %s", e);
      for (StackTraceElement at : e.getStackTrace()) {
        note("    at %s", at);
      }
    }
    end(record, code);
  }

  private static synchronized void end(Path record, int code) {
    for (Process process : PROCESSES) {
      process.destroyForcibly();
    }
    for (Process process : PROCESSES) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    say("%s", code == HELD ? "the rule held" : code == BROKEN ? "THE RULE WAS BROKEN" : "the case could not run");
    try {
      synchronized (RECORD) {
        Files.writeString(record, RECORD);
      }
    } catch (IOException e) {
      System.out.println("no record: " + e);
    }
    Runtime.getRuntime().halt(code);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void daemon(String name, int stack, Body body) {
    Thread thread = new Thread(null, () -> {
      try {
        body.run();
      } catch (Exception e) {
        // Ends the stand-in's thread; what it means is seen at the sockets.
      }
    }, name, stack);
    thread.setDaemon(true);
    thread.start();
  }

  static void daemon(String name, Body body) {
    daemon(name, 256 << 10, body);
  }

  static ServerSocket listen() throws IOException {
    ServerSocket server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
    return server;
  }

  static int freePort() throws IOException {
    try (ServerSocket server = listen()) {
      return server.getLocalPort();
    }
  }

  /** Starts a process of the project from the root; its output goes to a file. */
  static Process start(Path root, Map<String, String> environment, File out, String... command) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.environment().putAll(environment);
    builder.redirectErrorStream(true).redirectOutput(out);
    Process process = builder.start();
    PROCESSES.add(process);
    return process;
  }

  /** Sends a signal to a process that the case started. */
  static void signal(Process process, String signal) throws Exception {
    note("signal %s to process %d", signal, process.pid());
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  // ---- change log

  /** A change log that tells what is appended, and the last number every second. */
  static final class ChangeLog {
    final ServerSocket server = listen();
    private final List<String> events = new ArrayList<>();

    ChangeLog() throws IOException {
      daemon("log", () -> {
        while (true) {
          Socket s = server.accept();
          daemon("log-reader", () -> serve(s));
        }
      });
    }

    String address() {
      return "127.0.0.1:" + server.getLocalPort();
    }

    synchronized void append(String targets, boolean all) {
      events.add("{\"seq\":" + (events.size() + 1) + ",\"fleet\":{\"rev\":" + (events.size() + 1) + ",\"all\":" + all
          + ",\"targets\":[" + targets + "]}}");
      note("change log: event %d: %s", events.size(), targets);
      notifyAll();
    }

    synchronized String known() {
      return "{\"seq\":" + events.size() + ",\"results\":[" + String.join(",", events) + "]}";
    }

    private int serve(Socket s) throws Exception {
      StringBuilder line = new StringBuilder();
      InputStream in = s.getInputStream();
      for (int b = in.read(); b != '\n'; b = in.read()) {
        if (b < 0) {
          return 0;
        }
        line.append((char) b);
      }
      int told = Integer.parseInt(line.substring(6).trim());
      OutputStream out = s.getOutputStream();
      while (true) {
        StringBuilder text = new StringBuilder();
        synchronized (this) {
          if (told >= events.size()) {
            wait(1_000);
          }
          if (told >= events.size()) {
            text.append(events.size()).append('\n');
          }
          while (told < events.size()) {
            text.append(events.get(told++)).append('\n');
          }
        }
        out.write(text.toString().getBytes(StandardCharsets.UTF_8));
      }
    }
  }

  // ---- runners

  /** A request that has arrived whole at a runner. */
  static final class Go {
    Runner runner;
    RunnerConnection connection;
    String id;
    String fields;
    byte[] body;
    long at;
    volatile boolean halted;

    boolean answer(String word, String answerFields, byte[] answerBody) {
      return connection.write(id + " " + word + " " + answerFields + " " + answerBody.length, answerBody);
    }
  }

  static final class RunnerConnection {
    final Socket socket;
    final OutputStream out;
    final Map<String, Go> open = new ConcurrentHashMap<>();

    RunnerConnection(Socket socket) throws IOException {
      this.socket = socket;
      this.out = socket.getOutputStream();
    }

    synchronized boolean write(String line, byte[] body) {
      try {
        byte[] head = (line + "\r\n").getBytes(StandardCharsets.US_ASCII);
        byte[] all = new byte[head.length + body.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        out.write(all);
        return true;
      } catch (IOException e) {
        return false;
      }
    }
  }

  /** A runner; what it does with a request is up to the case. */
  static final class Runner {
    final String uid;
    final ServerSocket server = listen();
    private final Consumer<Go> handler;

    Runner(String uid, Consumer<Go> handler) throws IOException {
      this.uid = uid;
      this.handler = handler;
      daemon("runner", () -> {
        while (true) {
          Socket s = server.accept();
          s.setTcpNoDelay(true);
          daemon("runner-connection", () -> serve(s));
        }
      });
    }

    String entry(String state, long bootMillis) {
      return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + server.getLocalPort()
          + "\",\"az\":\"north\",\"model\":\"m1\",\"pod_group\":0,\"state\":\"" + state + "\",\"capacity_hint\":4,\"boot_ms\":"
          + bootMillis + "}";
    }

    private int serve(Socket s) throws Exception {
      RunnerConnection c = new RunnerConnection(s);
      DataInputStream in = new DataInputStream(new BufferedInputStream(s.getInputStream(), 16_384));
      while (true) {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
          if (b < 0) {
            c.open.values().forEach(go -> go.halted = true);
            return 0;
          }
          line.write(b);
        }
        String[] words = line.toString(StandardCharsets.US_ASCII).trim().split(" ");
        if (words[0].equals("go")) {
          Go go = new Go();
          go.runner = this;
          go.connection = c;
          go.id = words[1];
          go.fields = words[2];
          go.body = new byte[Integer.parseInt(words[3])];
          in.readFully(go.body);
          in.readFully(new byte[2]);
          go.at = now();
          c.open.put(go.id, go);
          handler.accept(go);
        } else if (words[0].equals("halt")) {
          Go go = c.open.get(words[1]);
          if (go != null) {
            go.halted = true;
          }
        } else if (words[0].equals("stage")) {
          c.write(words[1] + " ok pods=1 0", new byte[0]);
        } else if (words[0].equals("ping") || words[0].equals("stat")) {
          c.write(words[1] + " yes - 0", new byte[0]);
        }
      }
    }
  }

  // ---- the dispatcher's configuration and process

  static String profile(String name, String effect, int goalMillis, int giveUpMillis) {
    return "{\"effect\":\"" + effect + "\",\"giveUpMs\":" + giveUpMillis + ",\"goalTimeMs\":" + goalMillis
        + ",\"group\":\"all\",\"lateValue\":0.2,\"name\":\"" + name
        + "\",\"points\":3,\"repeatWindowMs\":5000,\"stream\":false}";
  }

  static String settings(String... profiles) {
    return "{\"balancers\":1,\"ordinal\":0,\"zone\":\"north\",\"zones\":[\"north\"],\"tickMs\":2,\"overShareWorth\":0.1,"
        + "\"membershipMode\":\"pushed\",\"tier\":0,\"tiers\":[\"workers\"],\"weightSource\":\"nominal\",\"worthBy\":\"request\","
        + "\"familyInfo\":{\"ifCold\":\"load\",\"keepAliveMs\":9000,\"loadShare\":0,\"loadSpanMs\":0,\"loadsAnyway\":0,"
        + "\"marksCold\":true,\"notesPeersInHand\":true,\"orderLimitMs\":10000,\"placementCalls\":true},"
        + "\"limits\":{\"cancelling\":true,\"connIdleMs\":30000,\"connectTimeoutMs\":250,\"maxAttempts\":4,"
        + "\"maxRetryAfterMs\":2000,\"mayDuplicate\":false,\"mostHeld\":20000,\"multiplex\":100,\"peers\":false,"
        + "\"probing\":true,\"retryAfter\":true},"
        + "\"rules\":{\"answerSlackMs\":8,\"askWithinMs\":10000,\"coldFrom\":0.16,\"coldMs\":18000,\"overloadForMs\":1500,"
        + "\"stopSendingWithinMs\":500,\"tipMultiple\":2.5},"
        + "\"tenants\":[{\"name\":\"first\",\"quotaPerS\":1000,\"share\":1}],"
        + "\"profiles\":[" + String.join(",", profiles) + "]}";
  }

  static final class Dispatcher {
    final Process process;
    final int port;

    Dispatcher(Path root, Path folder, int memoryMb, int sockets, ChangeLog log, String settings) throws Exception {
      port = freePort();
      String listen = "127.0.0.1:" + port;
      Path config = folder.resolve("config.json");
      Files.writeString(config, "{\"name\":\"n1\",\"listen\":\"" + listen + "\",\"seed\":\"8c1f30d27a5be964\","
          + "\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},"
          + "\"peers\":[],\"changelog\":\"" + log.address() + "\",\"known\":" + log.known() + ",\"settings\":" + settings
          + "}");
      String line = null;
      for (String text : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
        if (text.startsWith("run = \"")) {
          line = text.substring(7, text.lastIndexOf('"'));
        }
      }
      Path temporary = Files.createDirectories(folder.resolve("tmp"));
      process = start(root, Map.of("ROUTER_NAME", "n1", "ROUTER_LISTEN", listen, "ROUTER_CONFIG", config.toString(),
          "TMPDIR", temporary.toString()), folder.resolve("dispatcher.log").toFile(), "/bin/sh", "-c", line);
      long limit = now() + 30_000;
      while (now() < limit && process.isAlive()) {
        try (Client c = new Client(port)) {
          Answer live = c.send(Map.of("SCRIPT_NAME", "/status/live"), new byte[0]).get(1, TimeUnit.SECONDS);
          if (live.status == 200) {
            note("the dispatcher is live");
            return;
          }
        } catch (Exception e) {
          // Not yet.
        }
        sleep(100);
      }
      throw new IOException("the dispatcher is not live");
    }
  }

  // ---- web servers

  /** How a request ended: a status, or why its connection ended without a whole answer. */
  static final class Answer {
    int status;
    String lost;
    byte[] body = {};
    long at;
  }

  /** A connection of a web server; up to 32 requests may be open on it. */
  static final class Client implements AutoCloseable {
    final Socket socket;
    private final OutputStream out;
    private final Map<Integer, CompletableFuture<Answer>> open = new ConcurrentHashMap<>();
    private final Map<Integer, ByteArrayOutputStream> content = new ConcurrentHashMap<>();
    private int lastId;
    private volatile String ended;

    Client(int port) throws IOException {
      socket = new Socket();
      socket.connect(new InetSocketAddress("127.0.0.1", port), 5_000);
      socket.setTcpNoDelay(true);
      out = socket.getOutputStream();
      daemon("client", 128 << 10, this::read);
    }

    /** Sends a request in one write; the future always completes when the connection ends. */
    CompletableFuture<Answer> send(Map<String, String> params, byte[] body) {
      CompletableFuture<Answer> future = new CompletableFuture<>();
      synchronized (this) {
        int id = ++lastId;
        open.put(id, future);
        try {
          out.write(request(id, params, body));
        } catch (IOException e) {
          fail(e.toString());
        }
        if (ended != null) {
          fail(ended);
        }
      }
      return future;
    }

    static byte[] request(int id, Map<String, String> params, byte[] body) throws IOException {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      record(all, 1, id, new byte[] {0, 1, 1, 0, 0, 0, 0, 0});
      ByteArrayOutputStream pairs = new ByteArrayOutputStream();
      for (Map.Entry<String, String> e : params.entrySet()) {
        pairs.write(e.getKey().length());
        pairs.write(e.getValue().length());
        pairs.write(e.getKey().getBytes(StandardCharsets.US_ASCII));
        pairs.write(e.getValue().getBytes(StandardCharsets.US_ASCII));
      }
      record(all, 4, id, pairs.toByteArray());
      record(all, 4, id, new byte[0]);
      if (body.length > 0) {
        record(all, 5, id, body);
      }
      record(all, 5, id, new byte[0]);
      return all.toByteArray();
    }

    static void record(ByteArrayOutputStream all, int type, int id, byte[] bytes) throws IOException {
      all.write(new byte[] {1, (byte) type, (byte) (id >> 8), (byte) id, (byte) (bytes.length >> 8), (byte) bytes.length,
          0, 0});
      all.write(bytes);
    }

    private int read() {
      try {
        DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 65_536));
        while (true) {
          byte[] head = new byte[8];
          in.readFully(head);
          int id = (head[2] & 0xff) << 8 | head[3] & 0xff;
          byte[] bytes = new byte[(head[4] & 0xff) << 8 | head[5] & 0xff];
          in.readFully(bytes);
          in.readFully(new byte[head[6] & 0xff]);
          if (head[1] == 6) {
            content.computeIfAbsent(id, i -> new ByteArrayOutputStream()).write(bytes);
          } else if (head[1] == 3) {
            answered(id, bytes[4]);
          }
        }
      } catch (IOException e) {
        fail(e.toString());
      }
      return 0;
    }

    private void answered(int id, int protocolStatus) {
      ByteArrayOutputStream bytes = content.remove(id);
      Answer answer = new Answer();
      answer.at = now();
      answer.status = protocolStatus == 2 ? 503 : 500;
      if (bytes != null) {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        int end = text.indexOf("\r\n\r\n");
        answer.status = Integer.parseInt(text.substring(8, 11));
        answer.body = text.substring(end + 4).getBytes(StandardCharsets.ISO_8859_1);
      }
      CompletableFuture<Answer> future = open.remove(id);
      if (future != null) {
        future.complete(answer);
      }
    }

    private void fail(String why) {
      ended = why;
      for (Integer id : List.copyOf(open.keySet())) {
        CompletableFuture<Answer> future = open.remove(id);
        if (future != null) {
          Answer answer = new Answer();
          answer.at = now();
          answer.lost = why;
          future.complete(answer);
        }
      }
    }

    boolean isEnded() {
      return ended != null;
    }

    @Override
    public void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // Closed.
      }
    }
  }

  private static final java.util.Random IDS = new java.util.Random();

  static String hex() {
    synchronized (IDS) {
      return String.format("%016x", IDS.nextLong());
    }
  }

  /** The parameters of a request. */
  static Map<String, String> params(String id, String profile, long timeoutMillis, String function, int lanes) {
    Map<String, String> params = new LinkedHashMap<>();
    params.put("SCRIPT_NAME", "/svc/" + profile);
    params.put("HTTP_X_REQUEST_ID", id);
    params.put("HTTP_X_TIMEOUT_MS", Long.toString(timeoutMillis));
    params.put("HTTP_X_TENANT", "first");
    params.put("HTTP_X_OBJECT", function);
    params.put("HTTP_X_FACTS", "memory_mb:300;lanes:" + lanes + ";load_ms:600");
    return params;
  }
}
