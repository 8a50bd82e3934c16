/* Includes all of the wire package: conversion of the protocol's messages to and from structs, and
 * the MessagePack documents that carry them. Its functions are pure: no I/O, no clock, no locks. */
#ifndef RR_WIRE_WIRE_H
#define RR_WIRE_WIRE_H

#include "wire/cloud_messages.h"
#include "wire/document.h"
#include "wire/encoder.h"
#include "wire/user_messages.h"
#include "wire/wire_limits.h"
#include "wire/worker_messages.h"

#endif
