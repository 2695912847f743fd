package io.camphordrum.wire

import io.camphordrum.core.DataCentreId
import io.camphordrum.core.Member

/**
 * Holds the callbacks of a [PeerNetwork]; they run on its thread and must not block.
 *
 * @property onMessage a message arrived from a member of a data centre; never a [Hello].
 * @property onUp the first connection with this incarnation of a peer has exchanged hellos.
 * @property onDown the last connection with this incarnation of a peer ended, for the given reason.
 * @property onFault a connection with the given remote address was refused or closed, for the given reason.
 */
public class PeerEvents(
    public val onMessage: (from: Member, dataCentre: DataCentreId, message: PeerMessage) -> Unit,
    public val onUp: (peer: Hello) -> Unit = {},
    public val onDown: (peer: Hello, reason: String) -> Unit = { _, _ -> },
    public val onFault: (remote: String, reason: String) -> Unit = { _, _ -> },
)
