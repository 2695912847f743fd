package io.camphordrum.ctl

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json

/** Reads declarations: unknown names are refused, because they are usually misspelt. */
@OptIn(ExperimentalSerializationApi::class)
internal val strict = Json {
    allowComments = true
    allowTrailingComma = true
}

/** Reads answers: a newer daemon may say more than this tool knows. */
internal val lenient = Json { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal val pretty = Json {
    prettyPrint = true
    prettyPrintIndent = "  "
}
