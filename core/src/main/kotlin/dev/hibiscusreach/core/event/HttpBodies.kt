package dev.hibiscusreach.core.event

import kotlinx.serialization.Serializable

/** Body of a session request to a backend server. */
@Serializable
data class SessionRequest(val attempt: AttemptNumber, val command: SessionCommand)

/** Body of a backend server's session answer. */
@Serializable
data class SessionResponse(val attempt: AttemptNumber, val answer: SessionAnswer)

/** Body of the platform's answer about an object. */
@Serializable
data class StoredObject(val key: String, val value: String, val version: Long)

/** Body of a conditional update of a platform object. */
@Serializable
data class ObjectUpdate(val value: String)

/** Body of the platform's answer to a conditional update: the version that the object has now. */
@Serializable
data class ObjectVersion(val version: Long)
