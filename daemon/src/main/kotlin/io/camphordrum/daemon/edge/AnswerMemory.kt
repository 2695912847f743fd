package io.camphordrum.daemon.edge

import io.prometheus.metrics.core.metrics.Counter

/**
 * Bounds the memory that incomplete answers of all endpoints take in this process.
 *
 * The answers of one endpoint may take at most as much as is still free afterwards. One endpoint that sends without an
 * end therefore takes at most half of the memory, and n of them leave one part in n + 1 free. Runs on the event loop.
 *
 * @property maxBytes bound on the sum over all endpoints.
 */
class AnswerMemory(val maxBytes: Long, private val exceeded: Counter? = null) {
    private val bytesByAddress = HashMap<String, Long>()

    /** Bytes that incomplete answers take. */
    var usedBytes = 0L
        private set

    /** Returns a share for one answer of the endpoint at [address]; it must be released. */
    fun share(address: String) = Share(address)

    /** Memory of one answer. */
    inner class Share internal constructor(private val address: String) {
        private var bytes = 0L

        /** Changes the memory of the answer to [newBytes]; returns why that is too much, or null. */
        fun resize(newBytes: Long): String? {
            val growth = newBytes - bytes
            if (growth == 0L) return null
            val endpointBytes = (bytesByAddress[address] ?: 0L) + growth
            val freeBytes = maxBytes - (usedBytes + growth)
            if (growth > 0 && endpointBytes > freeBytes) return refuse(endpointBytes)
            bytes += growth
            usedBytes += growth
            if (endpointBytes == 0L) bytesByAddress -= address else bytesByAddress[address] = endpointBytes
            return null
        }

        /** Frees the memory of the answer. */
        fun release() {
            resize(0)
        }

        private fun refuse(endpointBytes: Long): String {
            exceeded?.inc()
            val fields = mapOf(
                "address" to address,
                "endpointBytes" to endpointBytes,
                "usedBytes" to usedBytes,
                "maxBytes" to maxBytes,
            )
            EdgeLog.write("answer_memory_exceeded", fields)
            return "the answers of $address take $endpointBytes bytes, $usedBytes of $maxBytes are used"
        }
    }
}
