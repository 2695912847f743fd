package io.camphordrum.ctl

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** Parses declarations and rejects unknown names, because they are usually misspelt. */
@OptIn(ExperimentalSerializationApi::class)
internal val strictJson = Json {
    allowComments = true
    allowTrailingComma = true
}

/** Parses answers and ignores unknown fields, because a newer daemon may add some. */
internal val lenientJson = Json { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal val prettyJson = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
}
