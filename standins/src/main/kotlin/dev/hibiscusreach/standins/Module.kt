package dev.hibiscusreach.standins

internal const val MODULE_NAME = "standins"
