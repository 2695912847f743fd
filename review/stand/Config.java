import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The operator's configuration of a small deployment, with the figures of the site kanalirada-prod. */
final class Config {
    static final String HOST = "towpath.example";
    static final String KEY = "k1-9f27ac03d1";
    static final String MODEL = "base70";
    static final String ENGINES = "drafting-models";
    static final String PLAIN = "orders-api";

    private Config() {
    }

    static Map<String, Object> of(long version, Object... extraRoutes) {
        List<Object> routes = new ArrayList<>(List.of(
            route("file-order", "/orders/", "non_idempotent", 3000, 386, PLAIN, 1),
            route("read-record", "/records/", "idempotent", 3000, 386, PLAIN, 2),
            route("draft-report", "/drafts/", "streaming", 12000, 800, ENGINES, 1)));
        routes.addAll(List.of(extraRoutes));
        Map<String, Object> model = Json.of("name", MODEL, "weightsMb", 65100, "loadTimeS", 1.9, "adapters", 3000,
            "adapterMb", 12, "warmS", 0.6, "diskLoadS", 0.78);
        Map<String, Object> engine = Json.of("slots", 64, "kvCacheTokens", 109466, "stride", 4, "models",
            List.of(model), "weightsMb", 66600, "adapterSlots", 14, "loadsPerS", 2.3);
        return Json.of("version", version, "routes", routes, "services", List.of(
                Json.of("name", ENGINES, "healthCheckPath", "/health", "connectionLimit", 360, "coldStartS", 3.0,
                    "coldPerS", 13.0, "engine", engine),
                Json.of("name", PLAIN, "healthCheckPath", "/health", "connectionLimit", 100, "coldStartS", 0.0,
                    "coldPerS", 0.0)),
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
                "idleTimeoutMs", 15000),
            "tenants", List.of(Json.of("name", "county", "apiKeys", List.of(KEY), "priority", 1, "unit", "tokens",
                "plainTokens", 200, "ratePerS", 333550, "burst", 333550)));
    }

    static Map<String, Object> route(String name, String prefix, String kind, int timeout, int target, String service,
        int attempts) {
        return Json.of("name", name, "host", HOST, "pathPrefix", prefix, "kind", kind, "timeoutMs", timeout,
            "targetLatencyMs", target, "priority", 2, "service", service, "maxAttempts", attempts,
            "allowAnonymous", false, "stickySessions", kind.equals("streaming"), "resumable", false, "gapTargetMs", 300);
    }
}
