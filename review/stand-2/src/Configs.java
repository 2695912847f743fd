/** Configurations of a small deployment, as `fleetbench wire` shows them. */
final class Configs {
    private Configs() {}

    /** The time-out of the routes is that of the site's orders. */
    static String orders() {
        return orders(1_500);
    }

    /** Returns the configuration with {@code timeoutMillis} as the time-out of its routes. */
    static String orders(int timeoutMillis) {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-orders\",\"host\":\"site.example\",\"pathPrefix\":\"/orders/\","
            + "\"kind\":\"non_idempotent\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"orders\","
            + "\"maxAttempts\":1,\"allowAnonymous\":false},{\"name\":\"r-records\",\"host\":\"site.example\",\"pathPrefix\":\"/records/\","
            + "\"kind\":\"idempotent\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":300,\"priority\":2,\"service\":\"orders\","
            + "\"maxAttempts\":2,\"allowAnonymous\":false}],\"services\":[{\"name\":\"orders\",\"healthCheckPath\":\"/health\","
            + "\"connectionLimit\":100,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,"
            + "\"ratePerS\":0,\"burst\":0}]}";
    }
}
