#ifndef PISTACHIOSHIFT_DOCUMENT_FORWARDDECLARATIONS_H
#define PISTACHIOSHIFT_DOCUMENT_FORWARDDECLARATIONS_H

namespace pistachioshift {

class DocumentError;
class DocumentState;
class ParseError;
struct DocumentEdit;
struct DocumentSnapshot;
struct EditVerdict;
struct ServicesSection;
struct TeamsSection;

}

#endif
