package org.berylwick.bench.emulate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.berylwick.bench.emulate.RequestKind.Millis;
import org.berylwick.bench.emulate.RequestKind.Value;
import org.berylwick.bench.emulate.RequestKind.Work;
import org.berylwick.node.lib.RouteKind;

/**
 * What is played.
 *
 * @param zones availability zones, with the part of the callers in each
 * @param servers of all services
 * @param kinds of requests
 * @param zoneMillis one way between zones
 * @param callerMillis one way to a caller
 * @param retryRatio repeats that one request earns
 * @param retrySlack repeats that are free in a window
 */
public record Deployment(
        List<Zone> zones,
        List<Server> servers,
        List<RequestKind> kinds,
        double zoneMillis,
        double callerMillis,
        double retryRatio,
        double retrySlack) {
    /** An availability zone and the part of all callers that are there. */
    public record Zone(String name, double callers) {}

    /**
     * A backend server with the node beside it.
     *
     * @param zone of both
     * @param service that it serves
     * @param slots requests it runs at once
     * @param slowness how many times as long as usual it takes
     * @param linkMbps width of the VM's link, each way
     */
    public record Server(String zone, String service, int slots, double slowness, double linkMbps) {
        /** One on a link that nothing here fills. */
        public Server(String zone, String service, int slots, double slowness) {
            this(zone, service, slots, slowness, 1_000);
        }
    }

    /**
     * Short objectives, heavy-tailed work, and a service of three that another calls: a part of two zones' callers have
     * fewer backend servers near them than they need.
     *
     * @param load 1 for two thirds of all slots
     */
    public static Deployment shortObjectives(double load) {
        double[] slowness = {0.6, 1.0, 1.4};
        List<Server> servers = new ArrayList<>();
        int[] desks = {4, 3, 2};
        String[] names = {"a", "b", "c"};
        int next = 0;
        for (int z = 0; z < names.length; z++) {
            for (int i = 0; i < desks[z]; i++) {
                servers.add(new Server(names[z], "desk", 9, slowness[next++ % slowness.length]));
            }
        }
        double[] vaultSlowness = {0.7, 0.7, 1.6};
        for (int z = 0; z < names.length; z++) {
            servers.add(new Server(names[z], "vault", 9, vaultSlowness[z]));
        }
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "desk", 512 * load, new Work(60, 0.8, 0.01, 5), new Millis(200, 500))
                        .withBytes(1_500, 0)
                        .calling("probe", 1, 0.7),
                RequestKind.order("order", "desk", 212 * load, new Work(78, 0.8, 0.01, 3), new Millis(250, 600)),
                RequestKind.order("upload", "vault", 61 * load, new Work(72, 0.3, 0.01, 5), new Millis(300, 800))
                        .withBytes(5_000, 60_000),
                RequestKind.read("urgent", "vault", 115 * load, new Work(24, 0.5, 0.01, 3), new Millis(100, 250))
                        .as(RouteKind.IDEMPOTENT, 1, new Value(2, 0.6)),
                RequestKind.probe("probe", "vault", 15));
        return new Deployment(
                List.of(new Zone("a", 0.30), new Zone("b", 0.29), new Zone("c", 0.41)),
                servers,
                kinds,
                0.9,
                8,
                0.2,
                62);
    }

    /**
     * Servers that differ in speed by 2.4 times, with short objectives, and one service that another calls.
     *
     * @param load 1 for half of all slots while no server is slowed down
     */
    public static Deployment unevenSpeeds(double load) {
        double[] slowness = {0.7, 1.0, 1.7};
        String[] names = {"a", "b", "c"};
        List<Zone> zones = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        for (int z = 0; z < names.length; z++) {
            zones.add(new Zone(names[z], 1.0 / names.length));
            for (int i = 0; i < 8; i++) {
                servers.add(new Server(names[z], "desk", 6, slowness[i % slowness.length]));
            }
            for (int i = 0; i < 4; i++) {
                servers.add(new Server(names[z], "vault", 6, slowness[(z + i) % slowness.length]));
            }
        }
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "desk", 460 * load, new Work(90, 0.5, 0.01, 5), new Millis(260, 800))
                        .calling("probe", 1, 0.7),
                RequestKind.order("order", "desk", 150 * load, new Work(120, 0.5, 0.01, 3), new Millis(350, 1_000)),
                RequestKind.read("urgent", "vault", 220 * load, new Work(110, 0.5, 0.01, 3), new Millis(300, 800))
                        .as(RouteKind.IDEMPOTENT, 1, new Value(2, 0.6)),
                RequestKind.probe("probe", "vault", 25));
        return new Deployment(zones, servers, kinds, 0.9, 8, 0.2, 100);
    }

    /**
     * Long objectives and large answers.
     *
     * @param load 1 for two thirds of all slots
     */
    public static Deployment longObjectives(double load) {
        List<Zone> zones = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        String[] names = {"a", "b", "c", "d"};
        double[] slowness = {0.8, 1.0, 1.2};
        for (int z = 0; z < names.length; z++) {
            zones.add(new Zone(names[z], 0.25));
            servers.add(new Server(names[z], "board", 12, slowness[z % 3]));
            servers.add(new Server(names[z], "books", 12, slowness[(z + 1) % 3]));
            servers.add(new Server(names[z], "files", 12, slowness[(z + 2) % 3]));
        }
        servers.add(new Server("a", "board", 12, 1));
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "board", 137 * load, new Work(220, 0.6, 0.01, 5), new Millis(600, 4_000))
                        .withRetries(2)
                        .calling("ledger", 2, 0.7),
                RequestKind.order("confirm", "books", 63 * load, new Work(290, 0.6, 0.01, 3), new Millis(800, 5_000))
                        .withRetries(2)
                        .calling("probe", 2, 0.7),
                RequestKind.read("pull", "files", 19 * load, new Work(180, 0.5, 0.01, 3), new Millis(600, 4_000))
                        .as(RouteKind.BULK, 2, new Value(1, 0.3))
                        .withBytes(90_000, 0)
                        .withRetries(2),
                RequestKind.probe("probe", "files", 55),
                RequestKind.probe("ledger", "books", 55));
        return new Deployment(zones, servers, kinds, 0.5, 1, 0.2, 58);
    }

    /**
     * Many small VMs on narrow links, each with few slots; bodies take longer over a link than a quick request runs.
     *
     * @param load 1 for three quarters of all slots, and two thirds of the links that lead to the called service
     */
    public static Deployment narrowLinks(double load) {
        double[] deskSlowness = {0.6, 1.0, 1.4};
        double[] vaultSlowness = {0.7, 0.7, 1.6};
        int[] desks = {26, 22, 23};
        int[] vaults = {7, 6, 6};
        String[] names = {"a", "b", "c"};
        List<Server> servers = new ArrayList<>();
        int desk = 0;
        int vault = 0;
        for (int z = 0; z < names.length; z++) {
            for (int i = 0; i < desks[z]; i++) {
                double mbps = i < 2 ? 98 : 4.9;
                servers.add(new Server(names[z], "desk", 6, deskSlowness[desk++ % deskSlowness.length], mbps));
            }
            for (int i = 0; i < vaults[z]; i++) {
                servers.add(new Server(names[z], "vault", 6, vaultSlowness[vault++ % vaultSlowness.length], 4.9));
            }
        }
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "desk", 916 * load, new Work(200, 0.8, 0.01, 5), new Millis(800, 2_000))
                        .withBytes(1_500, 0)
                        .calling("probe", 1, 0.7),
                RequestKind.order("order", "desk", 379 * load, new Work(260, 0.8, 0.01, 3), new Millis(1_000, 2_500)),
                RequestKind.order("upload", "vault", 109 * load, new Work(250, 0.3, 0.01, 5), new Millis(1_000, 2_500))
                        .withBytes(5_000, 60_000),
                RequestKind.read("urgent", "vault", 205 * load, new Work(82, 0.5, 0.01, 3), new Millis(400, 800))
                        .as(RouteKind.IDEMPOTENT, 1, new Value(2, 0.6)),
                RequestKind.probe("probe", "vault", 51));
        return new Deployment(
                List.of(new Zone("a", 0.30), new Zone("b", 0.29), new Zone("c", 0.41)),
                servers,
                kinds,
                0.9,
                8,
                0.2,
                220);
    }

    /**
     * Many small VMs on narrow links, over which a large answer takes as long as a run; the few backend servers that
     * make them are called by the orders of another service, too.
     *
     * @param load 1 for two fifths of all slots, and half of the links of those that make large answers
     */
    public static Deployment largeAnswers(double load) {
        return largeAnswers(load, 90_000);
    }

    /**
     * The same with answers of another size, so that links can be asked for more than they carry while slots are free.
     *
     * @param answerBytes of a large answer
     */
    public static Deployment largeAnswers(double load, int answerBytes) {
        String[] names = {"a", "b", "c", "d", "e", "f"};
        int[] boards = {10, 10, 7, 7, 8, 6};
        int[] books = {6, 6, 7, 6, 6, 7};
        int[] files = {2, 2, 2, 1, 1, 1};
        double[] boardSlowness = {0.7, 0.7, 1.6};
        double[] booksSlowness = {0.5, 1.0, 1.0, 1.5};
        double[] filesSlowness = {0.6, 1.0, 1.4};
        List<Zone> zones = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        int board = 0;
        int book = 0;
        int file = 0;
        for (int z = 0; z < names.length; z++) {
            zones.add(new Zone(names[z], 1.0 / names.length));
            for (int i = 0; i < boards[z]; i++) {
                double mbps = i < 3 ? 70 : 7;
                servers.add(new Server(names[z], "board", 6, boardSlowness[board++ % boardSlowness.length], mbps));
            }
            for (int i = 0; i < books[z]; i++) {
                servers.add(new Server(names[z], "books", 6, booksSlowness[book++ % booksSlowness.length], 7));
            }
            for (int i = 0; i < files[z]; i++) {
                servers.add(new Server(names[z], "files", 6, filesSlowness[file++ % filesSlowness.length], 7));
            }
        }
        List<RequestKind> kinds = List.of(
                RequestKind.read("lookup", "board", 376 * load, new Work(250, 0.3, 0.01, 5), new Millis(1_050, 6_300))
                        .withRetries(2)
                        .calling("ledger", 2, 0.7),
                RequestKind.order("confirm", "books", 174 * load, new Work(325, 0.8, 0.01, 3), new Millis(1_250, 6_250))
                        .withBytes(1_500, 1_200)
                        .withRetries(2)
                        .calling("roster", 2, 0.7),
                RequestKind.read("pull", "files", 53 * load, new Work(200, 0.8, 0.01, 5), new Millis(1_140, 6_800))
                        .as(RouteKind.BULK, 2, new Value(1, 0.3))
                        .withBytes(answerBytes, 0)
                        .withRetries(2),
                RequestKind.probe("roster", "files", 63).as(RouteKind.IDEMPOTENT, 1, new Value(0, 0)),
                RequestKind.probe("ledger", "books", 63).as(RouteKind.IDEMPOTENT, 1, new Value(0, 0)));
        return new Deployment(zones, servers, kinds, 0.9, 1, 0.2, 230);
    }

    /**
     * A chain of three services: lookups call the second, orders of the second call the third one after the other, and
     * the third, on narrow links, sends large answers as well.
     *
     * @param load 1 for nearly all slots of the three
     */
    public static Deployment chain(double load) {
        String[] names = {"a", "b", "c", "d"};
        double[] callers = {0.274, 0.234, 0.293, 0.199};
        int[] boards = {5, 5, 6, 4};
        int[] books = {11, 11, 9, 8};
        int[] files = {3, 3, 1, 1};
        double[] boardSlowness = {0.7, 0.7, 1.6};
        double[] booksSlowness = {0.5, 1.0, 1.0, 1.5};
        List<Zone> zones = new ArrayList<>();
        List<Server> servers = new ArrayList<>();
        int board = 0;
        int book = 0;
        int file = 0;
        for (int z = 0; z < names.length; z++) {
            zones.add(new Zone(names[z], callers[z]));
            for (int i = 0; i < boards[z]; i++) {
                servers.add(new Server(
                        names[z], "board", 8, boardSlowness[board++ % boardSlowness.length], i < 2 ? 98 : 4.9));
            }
            for (int i = 0; i < books[z]; i++) {
                servers.add(new Server(names[z], "books", 8, booksSlowness[book++ % booksSlowness.length], 4.9));
            }
            for (int i = 0; i < files[z]; i++) {
                servers.add(new Server(names[z], "files", 8, boardSlowness[file++ % boardSlowness.length], 4.9));
            }
        }
        Work call = new Work(44, 0.5, 0, 1);
        Millis callMillis = new Millis(267, 668);
        List<RequestKind> kinds = List.of(
                RequestKind.read(
                                "lookup",
                                "board",
                                705 * load,
                                new Work(171, 0.3, 0.01, 3),
                                new Millis(668, 4_456, 2_000))
                        .withBytes(1_500, 0)
                        .withRetries(2)
                        .calling("ledger", 2, 0.7),
                RequestKind.order(
                                "order",
                                "books",
                                978 * load,
                                new Work(229, 0.5, 0.01, 3),
                                new Millis(869, 5_430, 2_500))
                        .withBytes(1_500, 300)
                        .withRetries(2)
                        .callingInTurn("roster", 2, 0.7),
                RequestKind.read("pull", "files", 100 * load, new Work(143, 0.5, 0.01, 5), new Millis(998, 6_240))
                        .as(RouteKind.BULK, 2, new Value(1, 0.3))
                        .withBytes(90_000, 0)
                        .withRetries(2),
                calledRead("ledger", "books", call, callMillis),
                calledRead("roster", "files", call, callMillis));
        return new Deployment(zones, servers, kinds, 0.9, 8, 0.2, 174);
    }

    /** A read that only runs make, of the same rank as the orders that make it. */
    private static RequestKind calledRead(String name, String service, Work work, Millis millis) {
        return RequestKind.read(name, service, 0, work, millis)
                .as(RouteKind.IDEMPOTENT, 1, new Value(0, 0))
                .withBytes(600, 0)
                .withRetries(0);
    }

    /** Any deployment; the same seed gives the same. */
    public static Deployment random(long seed) {
        Random random = new Random(seed);
        int zoneCount = 1 + random.nextInt(5);
        List<Zone> zones = new ArrayList<>();
        double all = 0;
        double[] weights = new double[zoneCount];
        for (int z = 0; z < zoneCount; z++) {
            weights[z] = 0.5 + random.nextDouble();
            all += weights[z];
        }
        for (int z = 0; z < zoneCount; z++) {
            zones.add(new Zone("z" + z, weights[z] / all));
        }
        List<Server> servers = new ArrayList<>();
        List<RequestKind> kinds = new ArrayList<>();
        int services = 1 + random.nextInt(3);
        for (int s = 0; s < services; s++) {
            addService(s, zoneCount, random, servers, kinds);
        }
        return new Deployment(zones, servers, kinds, 0.5 + random.nextDouble(), 1 + random.nextInt(8), 0.2, 60);
    }

    private static void addService(
            int number, int zoneCount, Random random, List<Server> servers, List<RequestKind> kinds) {
        String service = "s" + number;
        int count = 3 + random.nextInt(8);
        int slots = 3 + random.nextInt(12);
        double capacity = 0;
        for (int i = 0; i < count; i++) {
            double slowness = 0.6 + random.nextDouble();
            servers.add(new Server("z" + random.nextInt(zoneCount), service, slots, slowness));
            capacity += slots / slowness;
        }
        double mean = 20 + random.nextDouble() * 200;
        double use = 0.4 + random.nextDouble() * 0.35;
        double rate = use * capacity / mean * 1e3;
        long objective = (long) (mean * (2.5 + random.nextDouble() * 2));
        Work read = new Work(mean, 0.3 + random.nextDouble() * 0.6, 0.01, 4);
        Millis readMillis = new Millis(objective, (long) (objective * (2.2 + random.nextDouble() * 4)));
        kinds.add(RequestKind.read("read" + number, service, 0.6 * rate, read, readMillis)
                .withBytes(2_000, 0)
                .withRetries(1 + random.nextInt(2)));
        Work order = new Work(mean * 1.3, 0.3 + random.nextDouble() * 0.6, 0.01, 3);
        Millis orderMillis = new Millis((long) (objective * 1.3), objective * 3);
        kinds.add(RequestKind.order("order" + number, service, 0.3 * rate, order, orderMillis)
                .withBytes(4_000, 300)
                .withRetries(1 + random.nextInt(2)));
    }
}
