package org.berylwick.daemon.call;

/** Configuration shared by the tests of this package. */
final class TestConfiguration {
    /** One brand with a route for each traffic class but lookup and one with a long timeout, all to service "web". */
    static final String TOML = """
            [[brand]]
            name = "one"
            hosts = ["one.example"]

            [[service]]
            name = "web"

            [[route]]
            name = "orders"
            path = "/orders"
            service = "web"
            labels = { kind = "order" }

            [[route]]
            name = "tiles"
            path = "/tiles"
            service = "web"
            labels = { kind = "read" }

            [[route]]
            name = "archives"
            path = "/archives"
            service = "web"
            labels = { kind = "bulk" }

            [[route]]
            name = "backups"
            path = "/backups"
            service = "web"
            labels = { kind = "long-timeout" }

            [[policy]]
            name = "long-timeout"
            routes = "kind=long-timeout"
            class = "bulk"
            timeout = "120s"
            idempotent = true

            [[policy]]
            name = "order"
            routes = "kind=order"
            class = "confirmation"
            timeout = "5s"
            idempotent = false

            [[policy]]
            name = "read"
            routes = "kind=read"
            class = "read"
            timeout = "10s"
            idempotent = true

            [[policy]]
            name = "bulk"
            routes = "kind=bulk"
            class = "bulk"
            timeout = "4s"
            idempotent = true
            """;

    private TestConfiguration() {}
}
