/** Configurations of a small deployment, as `fleetbench wire` shows them. */
final class Configs {
    private Configs() {}

    static String orders() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-orders\",\"host\":\"site.example\",\"pathPrefix\":\"/orders/\","
            + "\"kind\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"orders\","
            + "\"maxAttempts\":1,\"allowAnonymous\":false},{\"name\":\"r-records\",\"host\":\"site.example\",\"pathPrefix\":\"/records/\","
            + "\"kind\":\"idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"orders\","
            + "\"maxAttempts\":2,\"allowAnonymous\":false}],\"services\":[{\"name\":\"orders\",\"healthCheckPath\":\"/health\","
            + "\"connectionLimit\":100,\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,"
            + "\"ratePerS\":0,\"burst\":0}]}";
    }

    static String models() {
        return "{\"version\":7,\"routes\":[{\"name\":\"r-drafts\",\"host\":\"site.example\",\"pathPrefix\":\"/drafts/\","
            + "\"kind\":\"streaming\",\"timeoutMs\":12000,\"targetLatencyMs\":800,\"priority\":2,\"service\":\"models\","
            + "\"maxAttempts\":1,\"allowAnonymous\":false,\"stickySessions\":true,\"resumable\":false,\"gapTargetMs\":300}],"
            + "\"services\":[{\"name\":\"models\",\"healthCheckPath\":\"/health\",\"connectionLimit\":360,\"protocol\":\"h1\","
            + "\"tls\":false,\"coldStartS\":3.0,\"coldPerS\":13.0,\"engine\":{\"slots\":64,\"kvCacheTokens\":109466,"
            + "\"stride\":4,\"models\":[{\"name\":\"m0\",\"weightsMb\":65100.0,\"loadTimeS\":1.9,\"adapters\":3000,"
            + "\"adapterMb\":12.0}],\"weightsMb\":66600.0,\"adapterSlots\":14,\"loadsPerS\":2.3}}],"
            + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"tenant-1\",\"apiKeys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plainTokens\":200,"
            + "\"ratePerS\":0,\"burst\":0}]}";
    }
}
